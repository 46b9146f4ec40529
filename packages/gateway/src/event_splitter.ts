/**
 * Splits a stream of server-sent events into complete events. An incomplete event is buffered,
 * so that a stream that breaks off never delivers a part of an event.
 */

import * as buffer from "node:buffer";
import * as core from "@peridotvale/core";

/** A complete event. */
export interface StreamEvent {
  /** The event as received, with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the event's `id` field; undefined if the event has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Length of a blank line with its line break, CR and LF. */
const MAX_BLANK_LINE_BYTES = 2;
const ID_FIELD = /^id: ?(.*?)\r?$/m;
const DATA_FIELD = /^data(?::|\r?$)/m;
/** A comment, a field of any name with a value, or a standard field without one; after a BOM. */
const LINE = /^(?:\xef\xbb\xbf)?(?::.*|[A-Za-z][\w-]*:.*|data|id|event|retry)?$/;

/** Buffers the bytes of a stream until they form a complete event. */
export class EventSplitter {
  readonly #incompleteEvent = new core.ByteCollector();

  /**
   * Adds the next bytes of the stream; returns the events that are now complete, in order. Bytes
   * that have been searched are not searched again with the next piece.
   */
  push(chunk: Buffer): StreamEvent[] {
    const searchedBytes = this.#incompleteEvent.length;
    if (searchedBytes > 0) this.#incompleteEvent.addCopy(chunk);
    const bytes = searchedBytes > 0 ? this.#incompleteEvent.bytes : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    // The line break before a blank line may be one of the last bytes that were searched.
    let position = Math.max(0, searchedBytes - MAX_BLANK_LINE_BYTES);
    for (;;) {
      const lineFeed = bytes.indexOf(LINE_FEED, position);
      if (lineFeed < 0) break;
      position = lineFeed + 1;
      const end = findBlankLineEnd(bytes, position);
      if (end === undefined) continue;
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString("latin1"))?.[1] });
      start = end;
      position = end;
    }
    if (searchedBytes > 0 && start === 0) return events;
    this.#incompleteEvent.drop();
    if (start < bytes.length) this.#incompleteEvent.addCopy(bytes.subarray(start));
    return events;
  }

  /** Number of buffered bytes that do not form a complete event yet. */
  get pendingBytes(): number {
    return this.#incompleteEvent.length;
  }
}

/** Returns the end of the blank line that begins at `start`; undefined if none does. */
function findBlankLineEnd(bytes: Buffer, start: number): number | undefined {
  if (bytes[start] === LINE_FEED) return start + 1;
  return bytes[start] === CARRIAGE_RETURN && bytes[start + 1] === LINE_FEED ? start + 2 : undefined;
}

/** Whether the event carries data; a block without any only keeps the connection alive. */
export function hasData(event: StreamEvent): boolean {
  return DATA_FIELD.test(event.bytes.toString("latin1"));
}

/** Whether the bytes are no event in UTF-8 text, as after damage on the way. */
export function isGarbled(event: StreamEvent): boolean {
  if (!buffer.isUtf8(event.bytes)) return true;
  return event.bytes.toString("latin1").split(/\r\n|\r|\n/).some((line) => !LINE.test(line));
}

/**
 * Whether an event follows the last one that the caller has received. After a hand-over, the new
 * engine may resend events that the caller has already received.
 */
export function isUndelivered(event: StreamEvent, lastEventId: string | undefined): boolean {
  if (event.id === undefined || lastEventId === undefined) return true;
  const eventId = Number(event.id);
  const lastDeliveredId = Number(lastEventId);
  return Number.isNaN(eventId) || Number.isNaN(lastDeliveredId) || eventId > lastDeliveredId;
}
