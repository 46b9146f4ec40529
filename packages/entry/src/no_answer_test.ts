import * as net from "node:net";
import * as core from "@peridotvale/core";
import * as engines from "@peridotvale/engines";
import * as operators from "@peridotvale/operators";
import * as peers from "@peridotvale/peers";
import * as platform from "@peridotvale/platform";
import * as services from "@peridotvale/services";
import * as tap from "tap";

const ATTEMPT = "a-1";

/** Starts a server whose answers have `status` and look like an answer to any kind of request. */
async function startServer(
  t: { teardown(callback: () => unknown): void },
  status: string,
): Promise<string> {
  const body = '{"vms":[],"generations":[],"kvs":[]}';
  const head = [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${ATTEMPT}`,
    "X-Generation-Id: g",
    "X-Model-Version: 1",
    `Content-Length: ${body.length}`,
  ];
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => socket.write(`${head.join("\r\n")}\r\n\r\n${body}`));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", () => resolve()));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

// On other systems, bytes with the status 000 were taken for an answer.
for (const status of ["000 Trouble", "099 Trouble"]) {
  tap.t.test(
    `no client of the entry process takes the status ${status} for an answer`,
    async (t) => {
      const address = await startServer(t, status);
      const endpoint = core.createId<core.EndpointId>(address);
      const { signal } = new AbortController();
      const engine = new engines.HttpEngineClient({
        connectTimeoutMs: 500,
        answerTimeoutMs: 500,
        silenceTimeoutMs: 500,
      });
      const request = {
        attempt: ATTEMPT,
        kind: "completion" as const,
        body: {},
        seed: 1,
        maxTokens: 10,
        priority: 0,
      };
      const started = await engine.startGeneration(endpoint, request, { signal });
      t.equal(started.isErr() && started.error.outcome, "unknown", "a started generation");
      t.ok((await engine.listGenerations(endpoint)).isErr(), "a list of generations");
      t.ok((await engine.readStatus(endpoint)).isErr(), "a load report");
      const service = new services.HttpServiceClient({
        connectTimeoutMs: 500,
        maxAnswerBytes: 1e6,
      });
      const call = {
        attempt: ATTEMPT,
        method: "POST",
        path: "/",
        headers: {},
        body: undefined,
        idempotent: false,
        timeoutMs: 500,
      };
      const called = await service.call(endpoint, call, { signal });
      t.equal(called.isErr() && called.error.outcome, "unknown", "a call");
      const store = new platform.EtcdStore({ url: `http://${address}`, timeoutMs: 500 });
      t.ok((await store.read("key")).isErr(), "a read of the store");
      t.ok((await store.grantLease(1_000)).isErr(), "a lease");
      const watchEnd = new Promise<string>((resolve) => {
        store.watch("key", { onChange: () => {}, onEnd: resolve });
      });
      t.not(await watchEnd, "closed", "a watch");
      const vmList = new platform.HttpVmList({ url: `http://${address}`, timeoutMs: 500 });
      t.ok((await vmList.read()).isErr(), "a list of VMs");
      const operator = new operators.OperatorClient(`http://${address}`);
      t.ok((await operator.readStatus()).isErr(), "a status for operators");
      const process = core.createId<core.ProcessId>("p-2");
      const mesh = new peers.PeerMesh({
        host: "127.0.0.1",
        port: 0,
        clock: new core.SystemClock(),
        getOwnMemberInfo: () => {
          throw new Error("no hello is sent on a link that is not open");
        },
        listener: { onLinkOpened: () => {}, onMessage: () => {}, onLinkLost: () => {} },
      });
      t.teardown(() => mesh.stop());
      mesh.updateTargets([{ process, address }], 0);
      await core.waitFor(100);
      t.same(mesh.getLinks(), [], "a link");
    },
  );
}
