/** Hashes of a prompt's prefixes; the scheduler prefers engines that have cached them. */

import * as random from "./random.ts";

const BLOCK_CHARACTERS = 256;
const MAX_HASHED_BLOCKS = 16;
const AVERAGE_CHARACTERS_PER_TOKEN = 4;

/**
 * Computes one hash for each prefix that consists of complete blocks, shortest first.
 * Each hash covers its block and the previous hash, and thereby the entire prefix
 * up to the end of the block. Text after the last hashed block is ignored.
 */
export function computePrefixHashes(prompt: string): number[] {
  const hashes: number[] = [];
  let previousHash = "";
  for (let blockIndex = 0; blockIndex < MAX_HASHED_BLOCKS; blockIndex++) {
    const start = blockIndex * BLOCK_CHARACTERS;
    if (start + BLOCK_CHARACTERS > prompt.length) break;
    const hash = random.computeHash32(
      previousHash + prompt.slice(start, start + BLOCK_CHARACTERS),
    );
    hashes.push(hash);
    previousHash = `${hash}:`;
  }
  return hashes;
}

/** Estimates the number of tokens from the length of the prompt. */
export function estimatePromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / AVERAGE_CHARACTERS_PER_TOKEN);
}
