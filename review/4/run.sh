#!/usr/bin/env bash
# Case 4 of the review. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run_case.sh" 4
