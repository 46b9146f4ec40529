/** Sends a complete body to a caller in slices, so that a caller that does not read is noticed. */

import type * as http from "node:http";

/** A larger slice would make a slow caller look as if it did not read at all. */
const SLICE_BYTES = 64 * 1024;

/** Ends `response` with `body`; `onSent` is called with the length of each slice. */
export function sendBody(
  response: http.ServerResponse,
  body: Buffer,
  onSent: (bytes: number) => void,
): void {
  let offset = 0;
  const sendSlices = () => {
    while (!response.destroyed) {
      const slice = body.subarray(offset, offset + SLICE_BYTES);
      offset += slice.length;
      onSent(slice.length);
      if (offset === body.length) return void response.end(slice);
      if (!response.write(slice)) return void response.once("drain", sendSlices);
    }
  };
  sendSlices();
}
