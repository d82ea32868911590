package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertledge/internal/errs"
)

const (
	// MaxReportEntries bounds the servers in one report of a VM.
	MaxReportEntries = 64
	// maxLoad and maxService bound what is taken from a report.
	maxLoad    = 1000
	maxService = 10 * time.Minute
	// serviceUnit is the unit of service times in messages.
	serviceUnit = 100 * time.Microsecond
	// maxEntryBytes is the largest size of an encoded entry.
	maxEntryBytes = 4 + 2*binary.MaxVarintLen32
)

// Entry is the load of one server in a message.
type Entry struct {
	Key     uint32        // of the server
	Load    int           // requests in flight
	Service time.Duration // mean service time; 0 if it is unknown
}

// Key identifies a server in messages. Two of 3,000 servers have the same key with a probability of 0.001; they then seem to
// have a common load.
func Key(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// rank orders the servers among which a VM chooses, by rendezvous hashing of both names. vm and server are their hashes,
// which are combined by the finalizer of SplitMix64.
func rank(vm, server uint64) uint64 {
	x := vm ^ server
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Encode encodes entries: for each, the key in 4 bytes, the load and the service time in units of 0.1 ms as varints.
func Encode(entries []Entry) []byte {
	var out []byte
	for _, e := range entries {
		out = appendEntry(out, e)
	}
	return out
}

func appendEntry(out []byte, e Entry) []byte {
	out = binary.BigEndian.AppendUint32(out, e.Key)
	out = binary.AppendUvarint(out, uint64(min(max(e.Load, 0), maxLoad*maxLoad)))
	return binary.AppendUvarint(out, uint64(min(max(e.Service, 0), maxService)/serviceUnit))
}

// Decode decodes the output of Encode, at most limit entries. Loads and service times are limited to possible values.
func Decode(data []byte, limit int) ([]Entry, error) {
	var out []Entry
	for len(data) > 0 && len(out) < limit {
		if len(data) < 4 {
			return nil, malformed(len(data))
		}
		e := Entry{Key: binary.BigEndian.Uint32(data)}
		data = data[4:]
		load, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, malformed(len(data))
		}
		data = data[n:]
		service, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, malformed(len(data))
		}
		data = data[n:]
		e.Load = int(min(load, maxLoad*maxLoad))
		e.Service = time.Duration(min(service, uint64(maxService/serviceUnit))) * serviceUnit
		out = append(out, e)
	}
	return out, nil
}

func malformed(left int) error {
	return errs.New(errs.Internal, "use the same version of filbertledge on all VMs", "a report of the load of servers is malformed, %d bytes before its end", left)
}
