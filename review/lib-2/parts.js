/** Parts of a plain server's answer, from which callers tell whether a body is whole. */

const PART_BYTES = 800;

/** Creates a part of the answer to a request. */
export function createPart(id, part) {
  return `${id} part ${part} `.padEnd(PART_BYTES, ".");
}

/** Creates the whole body of the answer to a request. */
export function createBody(id, partCount) {
  let body = "";
  for (let part = 0; part < partCount; part += 1) body += createPart(id, part);
  return body;
}
