#!/usr/bin/env bash
# TROUBLE=0 plays the same with a sound model server and store.
cd "$(dirname "$0")" && exec node case.js
