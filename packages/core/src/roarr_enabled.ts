/** Enables roarr. It reads this variable once when it is imported, so import this module first. */
process.env["ROARR_LOG"] ??= "true";
