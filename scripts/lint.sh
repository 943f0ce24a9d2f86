#!/usr/bin/env bash
# Checks formatting, includes and clang-tidy's rules. Usage: lint.sh [--fix-format] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--fix-format" ]; then
  git ls-files --cached --others --exclude-standard '*.cc' '*.h' | xargs -r clang-format -i
  exit 0
fi
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | xargs -r clang-format --dry-run -Werror
scripts/check_includes.sh
[ -f build/compile_commands.json ] || scripts/build.sh > /dev/null
files=("$@")
[ ${#files[@]} -gt 0 ] ||
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' |
  grep -v asio_implementation.cc)  # compiles only third-party code
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -n 1 scripts/lint_file.sh
echo "lint: ${#files[@]} files clean"
