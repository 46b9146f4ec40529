/**
 * Splits a stream of server-sent events into complete events. An incomplete event is buffered,
 * so that a stream that breaks off never delivers a part of an event.
 */

import * as buffer from "node:buffer";

/** A complete event. */
export interface StreamEvent {
  /** The event as received, with the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the event's `id` field; undefined if the event has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const ID_FIELD = /^id: ?(.*?)\r?$/m;
const DATA_FIELD = /^data(?::|\r?$)/m;
/** A comment, a field of any name with a value, or a standard field without one; after a BOM. */
const LINE = /^(?:\xef\xbb\xbf)?(?::.*|[A-Za-z][\w-]*:.*|data|id|event|retry)?$/;

/** Buffers the bytes of a stream until they form a complete event. */
export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);

  /** Adds the next bytes of the stream; returns the events that are now complete, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const buffer = this.#incompleteEvent.length > 0
      ? Buffer.concat([this.#incompleteEvent, chunk])
      : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    for (let i = start; i < buffer.length; i++) {
      if (buffer[i] !== LINE_FEED) continue;
      const isBlankLine = buffer[i + 1] === LINE_FEED;
      const isBlankCrlfLine = buffer[i + 1] === 0x0d && buffer[i + 2] === LINE_FEED;
      if (!isBlankLine && !isBlankCrlfLine) continue;
      const end = i + (isBlankLine ? 2 : 3);
      const bytes = buffer.subarray(start, end);
      events.push({ bytes, id: ID_FIELD.exec(bytes.toString("latin1"))?.[1] });
      start = end;
      i = end - 1;
    }
    this.#incompleteEvent = Buffer.from(buffer.subarray(start));
    return events;
  }

  /** Number of buffered bytes that do not form a complete event yet. */
  get pendingBytes(): number {
    return this.#incompleteEvent.length;
  }
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
