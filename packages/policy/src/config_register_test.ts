import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as registers from "./config_register.ts";

function createConfig(release: number): core.RoutingConfig {
  return {
    release: core.createRelease(release),
    routes: [],
    services: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    keys: undefined,
  };
}

tap.t.test("a watch's news does not confirm that nothing newer exists", (t) => {
  const register = new registers.ConfigRegister();
  t.equal(register.getAge(0), Infinity);
  t.equal(register.adopt(createConfig(3), 100), true);
  t.equal(register.adopt(createConfig(4), -Infinity), true);
  t.equal(register.getAge(600), 500);
  t.end();
});

tap.t.test("releases and confirmations only rise, in any order of arrival", (t) => {
  const readings = fastCheck.array(fastCheck.record({
    release: fastCheck.nat(5),
    askedAt: fastCheck.nat(100),
  }));
  fastCheck.assert(
    fastCheck.property(readings, (list) => {
      const register = new registers.ConfigRegister();
      let release = -1;
      let confirmedAt = -Infinity;
      for (const reading of list) {
        register.adopt(createConfig(reading.release), reading.askedAt);
        const now = register.inForce?.config.release ?? -1;
        if (now < release || register.confirmedAt < confirmedAt) return false;
        // An older release than the one in force confirms nothing.
        if (reading.release < release && register.confirmedAt !== confirmedAt) return false;
        release = now;
        confirmedAt = register.confirmedAt;
      }
      return true;
    }),
    { seed: 20261204 },
  );
  t.end();
});

tap.t.test("another process's confirmation counts from the message that it answers", (t) => {
  const register = new registers.ConfigRegister();
  register.adopt(createConfig(3), 0);
  // Sent at 5,000, answered with an age of 400, received much later.
  register.applyPeerConfirmation(core.createRelease(3), { sentAt: 5_000, ageMs: 400 });
  t.equal(register.confirmedAt, 4_600);
  register.applyPeerConfirmation(core.createRelease(2), { sentAt: 9_000, ageMs: 0 });
  register.applyPeerConfirmation(core.createRelease(4), { sentAt: 9_000, ageMs: 0 });
  t.equal(register.confirmedAt, 4_600, "another release confirms nothing");
  t.end();
});
