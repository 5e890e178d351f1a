package losses

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// outcomeAnswered is the outcome of a request whose whole answer was passed on.
const outcomeAnswered = "answered"

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

var (
	requestMark = []byte(" msg=request ")
	timeMark    = []byte("ts=")
)

// Read reads the request lines of a log in logfmt and passes over all others. What stands before
// the time of a line, such as the name that a collector adds, is ignored. It returns the number of
// request lines that could not be read.
func Read(r io.Reader) (attempts []Attempt, unreadable int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		at := bytes.Index(line, timeMark)
		if at < 0 || !bytes.Contains(line, requestMark) {
			continue
		}
		a, err := parse(line[at:])
		if err != nil {
			unreadable++
			continue
		}
		attempts = append(attempts, a)
	}
	return attempts, unreadable, lines.Err()
}

var errNoTime = errors.New("the line has no time")

// parse reads one request line.
func parse(line []byte) (Attempt, error) {
	var a Attempt
	var ended time.Time
	var total time.Duration
	d := logfmt.NewDecoder(bytes.NewReader(line))
	if !d.ScanRecord() {
		return a, d.Err()
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		var err error
		switch key {
		case "ts":
			ended, err = time.Parse(time.RFC3339Nano, value)
		case "outcome":
			a.Outcome = value
		case "execution":
			a.Execution = value
		case "route":
			a.Route = value
		case "account":
			a.Account = value
		case "status":
			a.Status, err = strconv.Atoi(value)
		case "prompt":
			a.Prompt, err = strconv.Atoi(value)
		case "answer":
			a.Answer, err = strconv.Atoi(value)
		case "waited_ms":
			a.Waited, err = milliseconds(value)
		case "first_ms":
			a.First, err = milliseconds(value)
		case "total_ms":
			total, err = milliseconds(value)
		}
		if err != nil {
			return a, fmt.Errorf("field %s: %w", key, err)
		}
	}
	if err := d.Err(); err != nil {
		return a, err
	}
	if ended.IsZero() {
		return a, errNoTime
	}
	a.Arrived = ended.Add(-total)
	return a, nil
}

func milliseconds(s string) (time.Duration, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	return time.Duration(n) * time.Millisecond, err
}
