package wal_test

import (
	"fmt"

	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

// After a restart, Open returns the state and the entries that were appended before.
func Example() {
	disk := faultfs.New(1)
	log, _, err := wal.Open("/data", wal.Options{FS: disk})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = log.Append([]byte("term 1"), []wal.Entry{{Index: 1, Term: 1, Data: []byte("first")}})
	fmt.Println(err)
	disk.Restart()

	_, found, err := wal.Open("/data", wal.Options{FS: disk})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s: %s\n", found.State, found.Entries[0].Data)
	// Output:
	// <nil>
	// term 1: first
}
