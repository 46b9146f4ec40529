/** When a front reports a stream's tokens to the owner of its engine. */

/** Tokens after which a report is due at the latest, while a stream is short. */
const MIN_REPORT_TOKENS = 32;
/** Share of a stream's tokens after which a report is due. */
const REPORT_SHARE = 0.25;

/**
 * Whether a report is due. Reports thin out as a stream grows, so that their
 * number rises with the logarithm of its length; the owner fills in what it
 * expects meanwhile. The first token is always reported.
 */
export function isReportDue(emittedTokens: number, unreportedTokens: number): boolean {
  if (unreportedTokens === 0) return false;
  if (unreportedTokens === emittedTokens) return true;
  return unreportedTokens >= getReportTokens(emittedTokens);
}

/** Most tokens that a stream with `emittedTokens` may have beyond its last report. */
export function getReportTokens(emittedTokens: number): number {
  return Math.max(MIN_REPORT_TOKENS, emittedTokens * REPORT_SHARE);
}
