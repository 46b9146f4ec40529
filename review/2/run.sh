#!/usr/bin/env bash
# TROUBLE=0 plays the same without the planned stop.
cd "$(dirname "$0")" && exec node case.js
