/** Hashes of a prompt's prefixes, by which engines that cached them are preferred. */

import * as random from "./random.ts";

/** Characters of one block. */
const BLOCK_CHARACTERS = 256;
/** Most blocks that are hashed. */
const MAX_BLOCKS = 16;
/** Characters that one token stands for, on average. */
const CHARACTERS_PER_TOKEN = 4;

/** Computes the chained hashes of a prompt's leading blocks, shortest prefix first. */
export function computePrefixHashes(prompt: string): number[] {
  const hashes: number[] = [];
  let chain = "";
  for (let block = 0; block < MAX_BLOCKS; block++) {
    const start = block * BLOCK_CHARACTERS;
    if (start + BLOCK_CHARACTERS > prompt.length) break;
    const hash = random.computeHash32(
      chain + prompt.slice(start, start + BLOCK_CHARACTERS),
    );
    hashes.push(hash);
    chain = `${hash}:`;
  }
  return hashes;
}

/** Estimates the tokens of a prompt. */
export function estimatePromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}
