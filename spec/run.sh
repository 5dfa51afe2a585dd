#!/usr/bin/env bash
# Checks every protocol model in this directory exhaustively with spin.
# NAME.pml must hold. NAME.pml compiled with -DMUTANT must violate an assertion,
# which shows that the check detects errors.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
	apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev >/dev/null
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL DIRECTORY [spin flags]: prints the verifier's output.
verify() {
	local model=$1 directory=$2
	shift 2
	mkdir -p "$directory"
	cp "$model" "$directory/model.pml"
	(cd "$directory" && spin -a "$@" model.pml >/dev/null &&
		gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c &&
		./pan -m1000000 -w24)
}

failed=0
for model in *.pml; do
	[ -e "$model" ] || continue
	name=${model%.pml}
	output=$(verify "$model" "$work/$name")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output")
	if ! grep -q 'errors: 0' <<<"$output" || grep -qE 'max search depth too small|out of memory' <<<"$output"; then
		echo "$output"
		echo "spec $name: FAILED"
		failed=1
	else
		echo "spec $name: holds, $states states"
	fi
	# A model with several mutants distinguishes them by MUTANT == 1, MUTANT == 2 etc.
	mutants=$(grep -oE 'MUTANT == [0-9]+' "$model" | grep -oE '[0-9]+$' | sort -un || true)
	for mutant in ${mutants:-1}; do
		output=$(verify "$model" "$work/$name-mutant-$mutant" "-DMUTANT=$mutant")
		# Only a violated assertion counts: a deadlock in the model would also be
		# reported as an error.
		if ! grep -q 'assertion violated' <<<"$output"; then
			echo "$output"
			echo "spec $name: mutant $mutant was not found faulty: FAILED"
			failed=1
		else
			echo "spec $name: mutant $mutant found faulty"
		fi
	done
done
exit $failed
