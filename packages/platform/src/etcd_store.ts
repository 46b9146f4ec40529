/**
 * Client of the platform's key-value service through the JSON gateway of etcd v3:
 * `/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`, `/v3/watch`.
 * The gateway encodes keys and values in base64 and 64-bit numbers as strings.
 */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as agents from "./agent.ts";
import * as errors from "./errors.ts";
import type * as store from "./key_value_store.ts";

interface WireKeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

interface RangeResponse {
  readonly kvs?: readonly WireKeyValue[];
}

interface TxnResponse {
  readonly header: { readonly revision: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly { readonly response_range?: RangeResponse }[];
}

interface WatchMessage {
  readonly result?: {
    readonly events?: readonly {
      readonly type?: string;
      readonly kv: WireKeyValue;
    }[];
  };
}

export interface EtcdStoreOptions {
  /** Base URL, such as `http://10.0.0.5:2379`. */
  readonly url: string;
  readonly timeoutMs: number;
}

/** Time without data after which a watch ends and has to be opened again. */
const WATCH_IDLE_TIMEOUT_MS = 15_000;

/** {@linkcode store.KeyValueStore} over HTTP. */
export class EtcdStore implements store.KeyValueStore {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent: undici.Agent;
  #callCount = 0;

  constructor(options: EtcdStoreOptions) {
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs;
    this.#agent = agents.createAgent(options.url, options.timeoutMs);
  }

  /** Number of calls made so far, including opened watches. */
  get callCount(): number {
    return this.#callCount;
  }

  async read(key: string): store.PlatformResult<store.KeyValue | undefined> {
    const response = await this.#post<RangeResponse>("/v3/kv/range", {
      key: encodeText(key),
    });
    return response.map((range) => (range.kvs ?? []).map(createKeyValue)[0]);
  }

  async readKeys(
    keys: readonly string[],
  ): store.PlatformResult<readonly store.KeyValue[]> {
    const success = keys.map(createRangeRequest);
    const response = await this.#post<TxnResponse>("/v3/kv/txn", { success });
    return response.map(getKeyValues);
  }

  async commit(
    changes: readonly store.KeyChange[],
  ): store.PlatformResult<store.CommitResult> {
    const compare = [];
    for (const change of changes) {
      const key = encodeText(change.key);
      if (change.expectedRevision !== undefined) {
        const mod_revision = String(change.expectedRevision);
        compare.push({ key, target: "MOD", result: "EQUAL", mod_revision });
      }
      if (change.expectedValue !== undefined) {
        const value = encodeText(change.expectedValue);
        compare.push({ key, target: "VALUE", result: "EQUAL", value });
      }
    }
    const response = await this.#post<TxnResponse>("/v3/kv/txn", {
      compare,
      success: changes.map(createOperation),
      failure: changes.map((change) => createRangeRequest(change.key)),
    });
    return response.map((txn) => ({
      committed: txn.succeeded === true,
      revision: Number(txn.header.revision),
      current: txn.succeeded === true ? [] : getKeyValues(txn),
    }));
  }

  async grantLease(ttlMs: number): store.PlatformResult<store.Lease> {
    const seconds = String(Math.ceil(ttlMs / 1000));
    const response = await this.#post<
      { readonly ID: string; readonly TTL: string }
    >(
      "/v3/lease/grant",
      { TTL: seconds, ID: "0" },
    );
    return response.map((lease) => ({
      id: lease.ID,
      ttlMs: Number(lease.TTL) * 1000,
    }));
  }

  async renewLease(lease: string): store.PlatformResult<number> {
    const response = await this.#post<
      { readonly result: { readonly TTL?: string } }
    >(
      "/v3/lease/keepalive",
      { ID: lease },
    );
    return response.map((renewed) => Number(renewed.result.TTL ?? 0) * 1000);
  }

  async revokeLease(lease: string): store.PlatformResult<void> {
    const response = await this.#post<unknown>("/v3/lease/revoke", {
      ID: lease,
    });
    return response.map(() => undefined);
  }

  watch(key: string, listener: store.WatchListener): store.CancelWatch {
    const abort = new AbortController();
    this.#runWatch(key, listener, abort.signal).then(
      () => listener.onEnd("closed"),
      (error) => listener.onEnd(String((error as Error).message)),
    );
    return () => abort.abort();
  }

  async #runWatch(
    key: string,
    listener: store.WatchListener,
    signal: AbortSignal,
  ): Promise<void> {
    this.#callCount += 1;
    const { statusCode, body } = await undici.request(`${this.#url}/v3/watch`, {
      method: "POST",
      body: JSON.stringify({
        create_request: { key: encodeText(key), progress_notify: true },
      }),
      dispatcher: this.#agent,
      headersTimeout: this.#timeoutMs,
      bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
      signal,
    });
    if (statusCode !== 200) {
      throw new Error(`watch refused with status ${statusCode}`);
    }
    const splitter = new core.LineSplitter(agents.MAX_ANSWER_BYTES);
    for await (const chunk of body) {
      for (const line of splitter.push(chunk as Buffer)) dispatchWatchLine(line, listener);
    }
  }

  async #post<T>(path: string, request: unknown): store.PlatformResult<T> {
    this.#callCount += 1;
    try {
      const { statusCode, body } = await undici.request(this.#url + path, {
        method: "POST",
        body: JSON.stringify(request),
        headers: { "content-type": "application/json" },
        dispatcher: this.#agent,
        headersTimeout: this.#timeoutMs,
        bodyTimeout: this.#timeoutMs,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = (await core.collectBody(body, agents.MAX_ANSWER_BYTES)).toString("utf8");
      if (statusCode === 200) return neverthrow.ok(JSON.parse(text) as T);
      if (statusCode >= 500) {
        return neverthrow.err({
          type: "unknown",
          message: `status ${statusCode}`,
        });
      }
      return neverthrow.err({
        type: "rejected",
        status: statusCode,
        message: text,
      });
    } catch (error) {
      return neverthrow.err(errors.createPlatformError(error));
    }
  }
}

function dispatchWatchLine(line: string, listener: store.WatchListener): void {
  if (line === "") return;
  const message = JSON.parse(line) as WatchMessage;
  for (const event of message.result?.events ?? []) {
    if (event.type === "DELETE") continue;
    listener.onChange(createKeyValue(event.kv));
  }
}

function createRangeRequest(key: string) {
  return { request_range: { key: encodeText(key) } };
}

function createOperation(change: store.KeyChange) {
  const key = encodeText(change.key);
  if (change.value === undefined) return { request_delete_range: { key } };
  return {
    request_put: {
      key,
      value: encodeText(change.value),
      lease: change.lease ?? "0",
    },
  };
}

function getKeyValues(txn: TxnResponse): store.KeyValue[] {
  const keyValues: store.KeyValue[] = [];
  for (const response of txn.responses ?? []) {
    for (const kv of response.response_range?.kvs ?? []) {
      keyValues.push(createKeyValue(kv));
    }
  }
  return keyValues;
}

function createKeyValue(kv: WireKeyValue): store.KeyValue {
  return {
    key: decodeText(kv.key),
    value: decodeText(kv.value ?? ""),
    revision: Number(kv.mod_revision),
  };
}

function encodeText(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

function decodeText(encoded: string): string {
  return Buffer.from(encoded, "base64").toString("utf8");
}
