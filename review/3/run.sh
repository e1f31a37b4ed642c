#!/bin/sh
# A backend falls silent while it sends answers. TROUBLE=0: it does not.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin silent-backend review/3
