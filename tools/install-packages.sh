#!/bin/sh
# Installs those Debian packages listed in tools/packages.txt that are missing.
set -eu
List=$(dirname "$0")/packages.txt
Missing=""
while read -r Package; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null | grep -q 'install ok installed' ||
    Missing="$Missing $Package"
done <"$List"
[ -z "$Missing" ] && exit 0
Install="apt-get install -y --no-install-recommends"
# shellcheck disable=SC2086
$Install $Missing || { apt-get update && $Install $Missing; }
