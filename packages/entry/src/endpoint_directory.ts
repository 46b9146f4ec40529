/** Keeps the endpoint table up to date from the VM list. */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as topics from "./topics.ts";

/** Interval of reads of the VM list. */
const READ_INTERVAL_MS = 1_000;

/** The endpoints and peers that the VM list names. */
export class EndpointDirectory {
  readonly table = new policy.EndpointTable();
  #entries: readonly platform.VmEntry[] = [];
  #readAt = -Infinity;

  /** The entry processes of the last list. */
  getEntryProcesses(): platform.VmEntry[] {
    return this.#entries.filter((entry) => entry.role === "entry");
  }

  /** The last list. */
  get entries(): readonly platform.VmEntry[] {
    return this.#entries;
  }

  /** When a list was last read. */
  get readAt(): number {
    return this.#readAt;
  }

  /** Applies a list that was read. */
  applyEntries(entries: readonly platform.VmEntry[], now: number): void {
    this.#readAt = now;
    if (entries.length === 0) return;
    this.#entries = entries;
    this.table.applyList(entries.flatMap(createListedEndpoint));
  }
}

/** Reads the VM list at intervals into `directory`. */
export function registerEndpointDirectory(
  runtime: core.Runtime,
  options: {
    readonly directory: EndpointDirectory;
    readonly vmList: platform.VmList;
  },
): core.Disposer {
  let wasReachable = true;
  const read = async () => {
    const entries = await options.vmList.read();
    if (entries.isErr()) {
      if (wasReachable) {
        runtime.logger.write("vm_list_unreachable", {
          error: entries.error.message,
        });
      }
      wasReachable = false;
      return;
    }
    wasReachable = true;
    options.directory.applyEntries(entries.value, runtime.clock.now());
    runtime.publish(topics.ENDPOINTS_CHANGED, undefined);
  };
  void read();
  return runtime.registerInterval(read, READ_INTERVAL_MS);
}

function createListedEndpoint(
  entry: platform.VmEntry,
): policy.ListedEndpoint[] {
  if (entry.role === "entry") return [];
  return [{
    endpoint: core.createId<core.EndpointId>(entry.address),
    zone: core.createId<core.ZoneName>(entry.zone),
    role: entry.role,
    service: entry.service === undefined
      ? undefined
      : core.createId<core.ServiceName>(entry.service),
    leaving: entry.state === "leaving",
  }];
}
