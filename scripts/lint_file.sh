#!/usr/bin/env bash
# Runs clang-tidy on one file. Skips a file that passed before with the same content, includes,
# compiler flags and rules. Usage: lint_file.sh FILE (needs build/compile_commands.json)
set -euo pipefail
cd "$(dirname "$0")/.."
file="$1"
cache="${XDG_CACHE_HOME:-$HOME/.cache}/dogwood-lint"
mkdir -p "$cache"
command=$(jq -r --arg file "$PWD/$file" \
  'first(.[] | select(.file == $file) | .command) // ""' build/compile_commands.json)
key=""
if [ -n "$command" ]; then
  # The compile command with -M instead of -c and -o lists all included files. The key leaves out the
  # path of the checkout, so that several clones of the repository share results.
  flags=$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+//; s/ -c / /' <<< "$command")
  includes=$(cd build && eval "$flags -M -MT all" | sed 's/^all://; s/\\$//' | tr -s ' \n' '\n')
  key=$({
    clang-tidy --version
    cat .clang-tidy
    sed "s|$PWD|.|g" <<< "$flags"
    (cd build && xargs sha256sum <<< "$includes") | sed "s|$PWD|.|g"
  } | sha256sum | cut -d' ' -f1)
fi
[ -n "$key" ] && [ -e "$cache/$key" ] && exit 0
clang-tidy -p build --quiet "$file" 2> /dev/null
[ -z "$key" ] || touch "$cache/$key"
