/** Enables roarr's output. Roarr reads this variable on import, so import this module first. */
process.env["ROARR_LOG"] ??= "true";
