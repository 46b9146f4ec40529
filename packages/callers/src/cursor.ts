/**
 * Encodes and decodes cursors, the opaque ids of SSE events. A cursor identifies a generation,
 * its endpoint and the position in its token stream. A caller resumes a stream by sending the
 * cursor as `Last-Event-ID` to any entry process.
 *
 * The part that identifies the generation carries a MAC, computed once per stream. The position
 * carries a keyed hash, computed for each event.
 */

import * as crypto from "node:crypto";
import type * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import xxhash from "xxhash-wasm";

/** Part of a cursor that identifies the generation; the same for all events of a stream. */
export interface CursorHead {
  readonly endpoint: core.EndpointId;
  readonly generation: core.GenerationId;
  readonly seed: number;
  /** Digest of the request, so that a cursor is valid only for the request it was issued for. */
  readonly fingerprint: string;
}

/** A generation and a position in its token stream, decoded from a cursor's text. */
export interface Cursor {
  readonly head: CursorHead;
  /** Number of tokens up to the cursor's event. */
  readonly delivered: number;
  /** Chained hash of the text of these tokens. */
  readonly prefixHash: bigint;
}

/** Creates the cursors of one stream. */
export interface CursorWriter {
  /** Advances the position by one token and returns the cursor of that token's event. */
  writeToken(text: string): string;
  readonly delivered: number;
  readonly prefixHash: bigint;
}

const hasher = await xxhash();
const MAC_BYTES = 16;
const POSITION_RADIX = 36;

/** Computes the prefix hash after a token, from its text and the hash before it. */
export function computePrefixHash(text: string, previousHash: bigint): bigint {
  return hasher.h64(text, previousHash);
}

/** Computes the request digest that is stored in the request's cursors. */
export function computeFingerprint(parts: readonly string[]): string {
  return crypto.createHash("sha256").update(JSON.stringify(parts)).digest(
    "base64url",
  ).slice(0, 22);
}

/** Encodes and decodes cursors, using a secret that all entry processes share. */
export class CursorCodec {
  readonly #secret: string;

  constructor(secret: string) {
    this.#secret = secret;
  }

  /** Creates the cursor writer of one stream, starting at the given position. */
  createWriter(
    head: CursorHead,
    start: { readonly delivered: number; readonly prefixHash: bigint },
  ): CursorWriter {
    const fields = [
      head.endpoint,
      head.generation,
      head.seed,
      head.fingerprint,
    ];
    const encodedHead = Buffer.from(JSON.stringify(fields)).toString("base64url");
    const mac = this.#computeMac(encodedHead);
    return new StreamCursorWriter(
      `${encodedHead}.${mac.toString("base64url")}`,
      getHashKey(mac),
      start,
    );
  }

  /** Decodes a cursor. Fails if it was altered or created with a different secret. */
  decode(cursor: string): neverthrow.Result<Cursor, string> {
    const [encodedHead, mac, position, hash, checksum] = cursor.split(".");
    if (!encodedHead || !mac || !position || !hash || !checksum) {
      return neverthrow.err("malformed cursor");
    }
    const expectedMac = this.#computeMac(encodedHead);
    const receivedMac = Buffer.from(mac, "base64url");
    if (
      receivedMac.length !== MAC_BYTES || !crypto.timingSafeEqual(receivedMac, expectedMac)
    ) {
      return neverthrow.err("cursor was not issued by this deployment");
    }
    if (computeChecksum(position, hash, getHashKey(expectedMac)) !== checksum) {
      return neverthrow.err("position in the cursor does not match its checksum");
    }
    const fields = JSON.parse(
      Buffer.from(encodedHead, "base64url").toString("utf8"),
    ) as [
      core.EndpointId,
      core.GenerationId,
      number,
      string,
    ];
    const [endpoint, generation, seed, fingerprint] = fields;
    return neverthrow.ok({
      head: { endpoint, generation, seed, fingerprint },
      delivered: parseInt(position, POSITION_RADIX),
      prefixHash: BigInt(`0x${hash}`),
    });
  }

  #computeMac(text: string): Buffer {
    return crypto.createHmac("sha256", this.#secret).update(text).digest()
      .subarray(0, MAC_BYTES);
  }
}

class StreamCursorWriter implements CursorWriter {
  readonly #signedHead: string;
  readonly #key: bigint;
  #delivered: number;
  #prefixHash: bigint;

  constructor(
    signedHead: string,
    key: bigint,
    start: { readonly delivered: number; readonly prefixHash: bigint },
  ) {
    this.#signedHead = signedHead;
    this.#key = key;
    this.#delivered = start.delivered;
    this.#prefixHash = start.prefixHash;
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
    const position = this.#delivered.toString(POSITION_RADIX);
    const hash = this.#prefixHash.toString(16);
    return `${this.#signedHead}.${position}.${hash}.${computeChecksum(position, hash, this.#key)}`;
  }
}

function computeChecksum(position: string, hash: string, key: bigint): string {
  return hasher.h64ToString(`${position}.${hash}`, key);
}

function getHashKey(mac: Buffer): bigint {
  return mac.readBigUInt64LE(0);
}
