/** Enables roarr, which reads this variable once, on import: import this module before roarr. */
process.env["ROARR_LOG"] ??= "true";
