package wal_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/wal"
)

// BenchmarkAppend measures Append, with its sync, on the operating system's file system for
// several batch sizes.
func BenchmarkAppend(b *testing.B) {
	for _, count := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			log, _, err := wal.Open(b.TempDir(), wal.Options{})
			assert.NilError(b, err)
			defer func() { _ = log.Close() }()
			data := make([]byte, 200)
			index := uint64(0)
			entries := make([]wal.Entry, count)
			for range b.N {
				for i := range entries {
					index++
					entries[i] = wal.Entry{Index: index, Term: 1, Data: data}
				}
				if err := log.Append(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
