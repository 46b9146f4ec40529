/**
 * The opaque cursor of an SSE event: which generation of which endpoint, and
 * how far. A caller hands it back as `Last-Event-ID` to any entry process.
 *
 * The part that names the generation is authenticated once per stream; the
 * position is checked with a keyed hash per event.
 */

import * as crypto from "node:crypto";
import type * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import xxhash from "xxhash-wasm";

/** What identifies a generation to any entry process. */
export interface CursorHead {
  readonly endpoint: core.EndpointId;
  readonly generation: core.GenerationId;
  readonly seed: number;
  /** Digest of the request, so that a cursor only fits the request that it came from. */
  readonly fingerprint: string;
}

/** A decoded cursor. */
export interface Cursor {
  readonly head: CursorHead;
  /** Tokens received so far. */
  readonly delivered: number;
  /** Chained hash of these tokens. */
  readonly prefixHash: bigint;
}

/** Writes the cursors of one stream. */
export interface CursorWriter {
  /** Appends a token and returns the cursor after it. */
  writeToken(text: string): string;
  readonly delivered: number;
  readonly prefixHash: bigint;
}

const hasher = await xxhash();
const MAC_BYTES = 16;
const RADIX = 36;

/** Chains `text` onto the hash of the tokens before it. */
export function computePrefixHash(text: string, before: bigint): bigint {
  return hasher.h64(text, before);
}

/** Computes the digest of a request that its cursors carry. */
export function computeFingerprint(parts: readonly string[]): string {
  return crypto.createHash("sha256").update(JSON.stringify(parts)).digest(
    "base64url",
  ).slice(0, 22);
}

/** Encodes and decodes cursors with a secret that all entry processes share. */
export class CursorCodec {
  readonly #secret: string;

  constructor(secret: string) {
    this.#secret = secret;
  }

  /** Creates the writer of one stream, which continues after `from`. */
  createWriter(
    head: CursorHead,
    from: { readonly delivered: number; readonly prefixHash: bigint },
  ): CursorWriter {
    const fields = [
      head.endpoint,
      head.generation,
      head.seed,
      head.fingerprint,
    ];
    const text = Buffer.from(JSON.stringify(fields)).toString("base64url");
    const mac = this.#computeMac(text);
    return new StreamCursorWriter(
      `${text}.${mac.toString("base64url")}`,
      getKey(mac),
      from,
    );
  }

  /** Decodes a cursor; refuses one that was not written with the same secret. */
  decode(cursor: string): neverthrow.Result<Cursor, string> {
    const [text, mac, position, hash, check] = cursor.split(".");
    if (!text || !mac || !position || !hash || !check) {
      return neverthrow.err("malformed cursor");
    }
    const expected = this.#computeMac(text);
    const given = Buffer.from(mac, "base64url");
    if (
      given.length !== MAC_BYTES || !crypto.timingSafeEqual(given, expected)
    ) {
      return neverthrow.err("cursor was not issued here");
    }
    if (computeCheck(position, hash, getKey(expected)) !== check) {
      return neverthrow.err("cursor's position was altered");
    }
    const fields = JSON.parse(
      Buffer.from(text, "base64url").toString("utf8"),
    ) as [
      core.EndpointId,
      core.GenerationId,
      number,
      string,
    ];
    const [endpoint, generation, seed, fingerprint] = fields;
    return neverthrow.ok({
      head: { endpoint, generation, seed, fingerprint },
      delivered: parseInt(position, RADIX),
      prefixHash: BigInt(`0x${hash}`),
    });
  }

  #computeMac(text: string): Buffer {
    return crypto.createHmac("sha256", this.#secret).update(text).digest()
      .subarray(0, MAC_BYTES);
  }
}

class StreamCursorWriter implements CursorWriter {
  readonly #head: string;
  readonly #key: bigint;
  #delivered: number;
  #prefixHash: bigint;

  constructor(
    head: string,
    key: bigint,
    from: { readonly delivered: number; readonly prefixHash: bigint },
  ) {
    this.#head = head;
    this.#key = key;
    this.#delivered = from.delivered;
    this.#prefixHash = from.prefixHash;
  }

  get delivered(): number {
    return this.#delivered;
  }

  get prefixHash(): bigint {
    return this.#prefixHash;
  }

  writeToken(text: string): string {
    this.#prefixHash = computePrefixHash(text, this.#prefixHash);
    this.#delivered += 1;
    const position = this.#delivered.toString(RADIX);
    const hash = this.#prefixHash.toString(16);
    return `${this.#head}.${position}.${hash}.${computeCheck(position, hash, this.#key)}`;
  }
}

function computeCheck(position: string, hash: string, key: bigint): string {
  return hasher.h64ToString(`${position}.${hash}`, key);
}

function getKey(mac: Buffer): bigint {
  return mac.readBigUInt64LE(0);
}
