#!/usr/bin/env bash
# TROUBLE=0 plays the same without servers that leave.
cd "$(dirname "$0")" && exec node case.js
