#!/usr/bin/env bash
# Starts three VMs and a stand-in engine on loopback, adds one row to the table and sends one request. All processes are
# stopped when the script exits. Usage: examples/quickstart.sh [FOLDER]; run make build first.
set -euo pipefail
bin=$(cd "$(dirname "$0")/../bin" && pwd)
dir=${1:-$(mktemp -d)}
mkdir -p "$dir" && cd "$dir"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT

# 1. Keys: a certificate authority, a certificate for each VM, and one for the operator.
"$bin/filbertledge" keys init --dir keys
for vm in a-1 b-1 c-1; do
  "$bin/filbertledge" keys issue --dir keys --role vm --name $vm --ip 127.0.0.1
done
"$bin/filbertledge" keys issue --dir keys --role operator --name me

# 2. Settings for three VMs in three failure domains, each with a control replica.
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
"$bin/filbertledge" config init --dir . --pool "llm=$(digest pool-token)" \
  --vm a-1,a,127.0.0.1,replica --vm b-1,b,127.0.0.1,replica --vm c-1,c,127.0.0.1,replica

# 3. The VMs, and an engine that announces itself.
for vm in a-1 b-1 c-1; do
  "$bin/filbertledge" serve --config $vm.toml 2>$vm.log &
  pids+=($!)
done
"$bin/standin" engine --pool llm --model llm --token pool-token --failure-domain a --entry 127.0.0.1:8001 >engine.out &
pids+=($!)
until curl -sf http://127.0.0.1:8001/readyz >/dev/null; do sleep 0.2; done

# 4. One row in the table.
export FILBERTLEDGE_SERVER=127.0.0.1:9001 FILBERTLEDGE_CA=keys/ca.pem
export FILBERTLEDGE_CERT=keys/me.pem FILBERTLEDGE_KEY=keys/me-key.pem
"$bin/filbertledge" table set chat kind=chat pool=llm model=llm deadline=20s "token_sha256=$(digest row-token)" --wait
until "$bin/filbertledge" servers | grep -q engine-1; do sleep 0.2; done

# 5. A request.
curl -sf http://127.0.0.1:8002/v1/chat/completions -H 'Authorization: Bearer row-token' -H 'Filbertledge-Row: chat' \
  -d '{"model": "llm", "max_tokens": 8, "messages": [{"role": "user", "content": "Is the slot at ten free?"}]}'
echo
"$bin/filbertledge" status
