import * as tap from "tap";
import * as connections from "./caller_connections.ts";

tap.t.test("descriptors are left for files, endpoints and peers", (t) => {
  t.equal(connections.computeMaxConnections(500), 225);
  t.equal(connections.computeMaxConnections(100), 32);
  t.equal(connections.computeMaxConnections(undefined), Infinity);
  t.end();
});

// Guards against connections that send nothing and keep ordinary callers from connecting.
tap.t.test("the connection that is idle for longest is closed, never one with a request", (t) => {
  const serving = { hasOpenRequest: true, idleSince: 0 };
  const idle = { hasOpenRequest: false, idleSince: 5 };
  const idleLongest = { hasOpenRequest: false, idleSince: 3 };
  t.equal(connections.chooseConnectionToClose([serving, idle, idleLongest]), idleLongest);
  t.equal(connections.chooseConnectionToClose([serving]), undefined);
  t.end();
});
