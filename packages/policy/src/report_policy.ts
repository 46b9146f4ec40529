/** Decides when a front reports the progress of a stream to the owner of its engine. */

/** Minimum number of unreported tokens at which a report is due. */
const MIN_REPORT_INTERVAL_TOKENS = 32;
/** A report is due once the unreported tokens are this share of all tokens of the stream. */
const REPORT_INTERVAL_SHARE = 0.25;

/**
 * Returns whether a report is due. The first token is always reported. The interval
 * grows with the stream, so that the number of reports rises only with the logarithm
 * of its length; between two reports, the owner estimates the progress.
 */
export function isReportDue(emittedTokens: number, unreportedTokens: number): boolean {
  if (unreportedTokens === 0) return false;
  if (unreportedTokens === emittedTokens) return true;
  return unreportedTokens >= getReportIntervalTokens(emittedTokens);
}

/** Returns how many tokens after the last report the next one is due. */
export function getReportIntervalTokens(emittedTokens: number): number {
  return Math.max(MIN_REPORT_INTERVAL_TOKENS, emittedTokens * REPORT_INTERVAL_SHARE);
}
