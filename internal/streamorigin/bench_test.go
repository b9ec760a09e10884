package streamorigin

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRank ranks the hosts of a large fleet for one stream.
func BenchmarkRank(b *testing.B) {
	hosts := make([]string, 1200)
	for i := range hosts {
		hosts[i] = fmt.Sprint("host-", i)
	}
	for b.Loop() {
		rank(1, hosts, "host-0", copies)
	}
}

// BenchmarkRecords fills the records to their limit. The bytes per operation are those of all of them.
func BenchmarkRecords(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r := newRecords(0)
		for i := range maxRecords {
			r.put(record{Key: streamKey(i), Service: "s", Version: "v"}, time.Second)
		}
	}
}
