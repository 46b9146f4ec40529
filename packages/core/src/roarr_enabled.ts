/** Enables roarr, which reads this variable once, when it is imported. */
process.env["ROARR_LOG"] ??= "true";
