/** Keeps the endpoint table up to date from the VM list. */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as topics from "./topics.ts";

/** The endpoints and peers that the VM list names. */
export class EndpointDirectory {
  readonly table = new policy.EndpointTable();
  #processes: readonly policy.MemberCandidate[] = [];
  #readAt = -Infinity;
  #version = 0;

  /** The entry processes of the last list. */
  get processes(): readonly policy.MemberCandidate[] {
    return this.#processes;
  }

  /** When a list was last read. */
  get readAt(): number {
    return this.#readAt;
  }

  /** Rises with each change of the set of endpoints. */
  get version(): number {
    return this.#version;
  }

  /** Applies a list that was read; returns endpoints that are new or leaving. */
  applyEntries(
    entries: readonly platform.VmEntry[],
    now: number,
  ): readonly policy.ListedEndpoint[] {
    this.#readAt = now;
    if (entries.length === 0) return [];
    this.#version += 1;
    this.#processes = entries.flatMap(createCandidate);
    return this.table.applyList(entries.flatMap(createListedEndpoint));
  }

  /** Applies what a peer's list says; returns what was news. */
  applyNews(endpoints: readonly policy.ListedEndpoint[]): readonly policy.ListedEndpoint[] {
    const news = this.table.applyUpdates(endpoints);
    if (news.length > 0) this.#version += 1;
    return news;
  }
}

/** What reading the list needs. */
export interface DirectoryReaderOptions {
  readonly directory: EndpointDirectory;
  readonly vmList: platform.VmList;
  /** Whether this process reads often, for others as well. */
  readonly isWatcher: () => boolean;
  /** Takes endpoints that are new or leaving. */
  readonly onNews: (endpoints: readonly policy.ListedEndpoint[]) => void;
}

const WATCHER_INTERVAL_MS = 1_000;
/** Reads of a process that is no watcher come once in so many intervals. */
const SLOW_READ_INTERVALS = 15;

/** Reads the VM list at intervals into the directory. */
export function registerEndpointDirectory(
  runtime: core.Runtime,
  options: DirectoryReaderOptions,
): core.Disposer {
  const reader = new DirectoryReader(runtime, options);
  void reader.read();
  return runtime.registerInterval(() => reader.runInterval(), WATCHER_INTERVAL_MS);
}

class DirectoryReader {
  readonly #runtime: core.Runtime;
  readonly #options: DirectoryReaderOptions;
  #wasReachable = true;
  #skipped = 0;

  constructor(runtime: core.Runtime, options: DirectoryReaderOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  async runInterval(): Promise<void> {
    this.#skipped += 1;
    const isDue = this.#options.isWatcher() || this.#skipped >= SLOW_READ_INTERVALS ||
      this.#options.directory.readAt === -Infinity;
    if (isDue) await this.read();
  }

  async read(): Promise<void> {
    this.#skipped = 0;
    const entries = await this.#options.vmList.read();
    if (entries.isErr()) {
      if (this.#wasReachable) {
        this.#runtime.logger.write("vm_list_unreachable", { error: entries.error.message });
      }
      this.#wasReachable = false;
      return;
    }
    this.#wasReachable = true;
    const news = this.#options.directory.applyEntries(entries.value, this.#runtime.clock.now());
    this.#options.onNews(news);
    this.#runtime.publish(topics.ENDPOINTS_CHANGED, undefined);
  }
}

function createCandidate(entry: platform.VmEntry): policy.MemberCandidate[] {
  if (entry.role !== "entry" || entry.process === undefined || entry.state === "leaving") return [];
  return [{
    process: core.createId<core.ProcessId>(entry.process),
    zone: core.createId<core.ZoneName>(entry.zone),
    address: entry.address,
  }];
}

function createListedEndpoint(entry: platform.VmEntry): policy.ListedEndpoint[] {
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
