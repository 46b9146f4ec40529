import * as net from "node:net";
import * as tap from "tap";
import * as sockets from "./paced_socket.ts";

/** A clock that advances by a fixed step each time it is read. */
class SteppingClock {
  readonly #stepMs: number;
  #now = 0;

  constructor(stepMs: number) {
    this.#stepMs = stepMs;
  }

  now(): number {
    this.#now += this.#stepMs;
    return this.#now;
  }

  readWallTime(): number {
    return this.now();
  }
}

const SENT = Buffer.from(Array.from({ length: 300_000 }, (_, i) => i % 251));

/** Connects a paced socket to a server that sends `SENT` and ends the connection. */
async function connect(
  t: { teardown(callback: () => unknown): void },
  stepMs: number,
): Promise<sockets.PacedSocket> {
  const server = net.createServer((socket) => socket.end(SENT));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", () => resolve()));
  t.teardown(() => server.close());
  const connector = sockets.createPacedConnector(new SteppingClock(stepMs), 1_000);
  const { port } = server.address() as net.AddressInfo;
  return await new Promise((resolve, reject) => {
    connector({ hostname: "127.0.0.1", port: String(port) }, (error, socket) => {
      if (socket instanceof sockets.PacedSocket) resolve(socket);
      else reject(error);
    });
  });
}

interface ReadResult {
  readonly bytes: Buffer;
  /** Most bytes that were read between two runs of other work. */
  readonly mostAtOnce: number;
}

/** Reads all data as a parser does: as long as there is any, at each event `readable`. */
function readAll(socket: sockets.PacedSocket): Promise<ReadResult> {
  const slices: Buffer[] = [];
  let [bytesAtOnce, mostAtOnce] = [0, 0];
  socket.on("readable", () => {
    for (let slice = socket.read(); slice !== null; slice = socket.read()) {
      slices.push(slice);
      if (bytesAtOnce === 0) setImmediate(() => bytesAtOnce = 0);
      bytesAtOnce += slice.length;
      mostAtOnce = Math.max(mostAtOnce, bytesAtOnce);
    }
  });
  return new Promise((resolve) => {
    socket.once("end", () => resolve({ bytes: Buffer.concat(slices), mostAtOnce }));
  });
}

// One connection with many small pieces kept the event loop from all others for a whole read.
tap.t.test("a socket gives way to other work when its bytes take long to process", async (t) => {
  // 0.2 ms pass between two slices: a turn has time for three of them. Other work that was queued
  // in one turn may run after the next.
  const slow = await readAll(await connect(t, 0.2));
  t.ok(slow.bytes.equals(SENT));
  t.ok(slow.mostAtOnce <= 2 * 3 * 4 * 1024, `${slow.mostAtOnce} bytes at once`);
  const fast = await readAll(await connect(t, 0));
  t.ok(fast.bytes.equals(SENT));
});

// The end of a connection that was noticed during a pause ended the process, or got lost.
tap.t.test("a held socket returns no data, and all of it when it is released", async (t) => {
  const socket = await connect(t, 0.2);
  socket.hold();
  const result = readAll(socket);
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.equal(socket.read(), null);
  t.equal(socket.readableEnded, false);
  socket.release();
  t.ok((await result).bytes.equals(SENT));
});
