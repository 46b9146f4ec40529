/**
 * Keeps the endpoint table and the list of entry processes up to date. Each
 * process reads the VM list at intervals, watchers more often than others, and
 * applies the endpoint updates of its peers.
 */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as topics from "./topics.ts";

/** Holds the endpoints and entry processes of the VM list, with the updates from peers. */
export class EndpointDirectory {
  readonly table = new policy.EndpointTable();
  #candidates: readonly policy.MemberCandidate[] = [];
  #listReadAt = -Infinity;
  #version = 0;

  /** Entry processes in the last non-empty VM list, except those that are leaving. */
  get candidates(): readonly policy.MemberCandidate[] {
    return this.#candidates;
  }

  /** Time at which the VM list was last read; `-Infinity` before the first read. */
  get listReadAt(): number {
    return this.#listReadAt;
  }

  /** Increases with each list that is applied and each peer update that changes the table. */
  get version(): number {
    return this.#version;
  }

  /**
   * Applies a VM list; returns the endpoints that are new or have begun to leave.
   * An empty list only sets `listReadAt`.
   */
  applyEntries(
    entries: readonly platform.VmEntry[],
    now: number,
  ): readonly policy.ListedEndpoint[] {
    this.#listReadAt = now;
    if (entries.length === 0) return [];
    this.#version += 1;
    this.#candidates = entries.flatMap(createCandidates);
    return this.table.applyList(entries.flatMap(createListedEndpoints));
  }

  /** Applies endpoints that a peer has sent; returns those that changed the table. */
  applyUpdates(endpoints: readonly policy.ListedEndpoint[]): readonly policy.ListedEndpoint[] {
    const updates = this.table.applyUpdates(endpoints);
    if (updates.length > 0) this.#version += 1;
    return updates;
  }
}

export interface VmListReaderOptions {
  readonly directory: EndpointDirectory;
  readonly vmList: platform.VmList;
  /** Whether this process is a watcher, which reads the list at every interval. */
  readonly isWatcher: () => boolean;
  /** Called after each read with the endpoints that are new or have begun to leave. */
  readonly onUpdates: (endpoints: readonly policy.ListedEndpoint[]) => void;
}

const WATCHER_READ_INTERVAL_MS = 1_000;
/** A process that is not a watcher reads the list once per this many intervals. */
const INTERVALS_PER_NON_WATCHER_READ = 15;

/** Reads the VM list into the directory, immediately and then at intervals. */
export function registerEndpointDirectory(
  runtime: core.Runtime,
  options: VmListReaderOptions,
): core.Disposer {
  const reader = new VmListReader(runtime, options);
  void reader.readList();
  return runtime.registerInterval(() => reader.readListIfDue(), WATCHER_READ_INTERVAL_MS);
}

class VmListReader {
  readonly #runtime: core.Runtime;
  readonly #options: VmListReaderOptions;
  #wasListReachable = true;
  #intervalsSinceRead = 0;

  constructor(runtime: core.Runtime, options: VmListReaderOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  async readListIfDue(): Promise<void> {
    this.#intervalsSinceRead += 1;
    const isDue = this.#options.isWatcher() ||
      this.#intervalsSinceRead >= INTERVALS_PER_NON_WATCHER_READ ||
      this.#options.directory.listReadAt === -Infinity;
    if (isDue) await this.readList();
  }

  async readList(): Promise<void> {
    this.#intervalsSinceRead = 0;
    const entries = await this.#options.vmList.read();
    if (entries.isErr()) {
      if (this.#wasListReachable) {
        this.#runtime.logger.write("vm_list_unreachable", { error: entries.error.message });
      }
      this.#wasListReachable = false;
      return;
    }
    this.#wasListReachable = true;
    const updates = this.#options.directory.applyEntries(entries.value, this.#runtime.clock.now());
    this.#options.onUpdates(updates);
    this.#runtime.publish(topics.ENDPOINTS_CHANGED, undefined);
  }
}

/** Returns one candidate, or none if the VM is leaving or does not run an entry process. */
function createCandidates(entry: platform.VmEntry): policy.MemberCandidate[] {
  if (entry.role !== "entry" || entry.process === undefined || entry.state === "leaving") return [];
  return [{
    process: core.createId<core.ProcessId>(entry.process),
    zone: core.createId<core.ZoneName>(entry.zone),
    address: entry.address,
  }];
}

/** Returns one endpoint, or none if the VM runs an entry process. */
function createListedEndpoints(entry: platform.VmEntry): policy.ListedEndpoint[] {
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
