#!/bin/sh
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
exec java -Xmx256m -cp "$root/target/review-2" CaseFirstStart "$root" "$PWD"
