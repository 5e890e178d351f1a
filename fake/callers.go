package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Callers sends a steady load of small calls, so that a development deployment has
// traffic by which versions can be judged.
type Callers struct {
	// Gateways are base URLs, used in turn.
	Gateways []string
	// Key is the bearer key, Model the model called.
	Key   string
	Model string
	// Rate is requests per second.
	Rate float64

	sent, failed atomic.Int64
	open         sync.WaitGroup
}

const callerTimeout = 10 * time.Second

// Run sends until ctx ends and returns when the last answer has arrived.
func (c *Callers) Run(ctx context.Context) {
	if c.Rate <= 0 {
		return
	}
	client := &http.Client{Timeout: callerTimeout}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			c.open.Wait()
			return
		case <-ticker.C:
			c.open.Add(1)
			go c.send(client, i)
		}
	}
}

// Counts returns the requests sent and those not answered with status 200.
func (c *Callers) Counts() (sent, failed int64) { return c.sent.Load(), c.failed.Load() }

func (c *Callers) send(client *http.Client, i int) {
	defer c.open.Done()
	c.sent.Add(1)
	url := c.Gateways[i%len(c.Gateways)] + "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, c.Model, prompt(i))
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		c.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := client.Do(req)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
	}
}

// longEvery makes one call in so many a hundred times longer than the others.
const longEvery = 50

func prompt(i int) string {
	if i%longEvery == longEvery-1 {
		return strings.Repeat("check this loom specification ", 100)
	}
	return fmt.Sprintf("check this loom specification %d", i)
}
