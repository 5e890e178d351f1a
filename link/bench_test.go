package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"toucantiller.dev/link"
)

// linkHandler answers /unary with a few bytes, /stream with 1,000 small parts that are each
// flushed, and /idle with one part, after which the response stays open.
func linkHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case "/unary":
		_, _ = io.WriteString(w, "answer")
	case "/stream":
		for range 1000 {
			_, _ = io.WriteString(w, "data: a part of about forty bytes.......")
			_ = http.NewResponseController(w).Flush()
		}
	case "/idle":
		_, _ = io.WriteString(w, "data")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// benchmarkProtocols runs a benchmark over HTTP/2, as links use it, and over HTTP/1.1 with one
// connection for each open request.
func benchmarkProtocols(b *testing.B, run func(b *testing.B, client *http.Client, url string)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := link.NewHTTPServer(http.HandlerFunc(linkHandler))
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	clients := map[string]*http.Client{
		"http2":  link.NewHTTPClient(link.TCP{}, l.Addr().String()),
		"http11": {Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}},
	}
	for _, name := range []string{"http2", "http11"} {
		b.Run(name, func(b *testing.B) { run(b, clients[name], "http://"+l.Addr().String()) })
	}
}

func post(b *testing.B, ctx context.Context, client *http.Client, url string) *http.Response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		b.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	return resp
}

// BenchmarkLinkUnary measures one request and its short answer, client and server together.
func BenchmarkLinkUnary(b *testing.B) {
	benchmarkProtocols(b, func(b *testing.B, client *http.Client, url string) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				resp := post(b, context.Background(), client, url+"/unary")
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	})
}

// BenchmarkLinkStream measures a stream of 1,000 parts, client and server together.
func BenchmarkLinkStream(b *testing.B) {
	benchmarkProtocols(b, func(b *testing.B, client *http.Client, url string) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				resp := post(b, context.Background(), client, url+"/stream")
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
		b.ReportMetric(float64(b.N)*1000/b.Elapsed().Seconds(), "parts/s")
	})
}

// BenchmarkLinkIdle reports the memory of an open stream, client and server together.
func BenchmarkLinkIdle(b *testing.B) {
	const streams = 500
	benchmarkProtocols(b, func(b *testing.B, client *http.Client, url string) {
		for range b.N {
			before := liveMemory()
			ctx, cancel := context.WithCancel(context.Background())
			bodies := make([]io.Closer, streams)
			for i := range bodies {
				resp := post(b, ctx, client, url+"/idle")
				_, _ = io.ReadFull(resp.Body, make([]byte, 4))
				bodies[i] = resp.Body
			}
			b.ReportMetric((liveMemory()-before)/streams/1024, "KB/stream")
			cancel()
			for _, c := range bodies {
				_ = c.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// liveMemory returns the bytes of the heap and the stacks after garbage collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
