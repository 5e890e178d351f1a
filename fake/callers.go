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

// Callers sends streaming chat completions at a constant rate. Comparing two versions of a
// service during a move needs traffic; Callers provides it in a development deployment.
type Callers struct {
	// Gateways are the base URLs of the gateways, used round-robin.
	Gateways []string
	// Key is the API key sent as a bearer token; Model is the name of the requested model.
	Key   string
	Model string
	// Rate is the number of requests per second; Run sends nothing when it is not positive.
	Rate float64

	sent, failed atomic.Int64
	pending      sync.WaitGroup
}

const requestTimeout = 10 * time.Second

// Run sends requests until ctx is done, then waits for the outstanding answers.
func (c *Callers) Run(ctx context.Context) {
	if c.Rate <= 0 {
		return
	}
	client := &http.Client{Timeout: requestTimeout}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			c.pending.Wait()
			return
		case <-ticker.C:
			c.pending.Add(1)
			go c.send(client, i)
		}
	}
}

// Counts returns the number of requests sent, and of those that failed: no complete answer, or
// a status other than 200.
func (c *Callers) Counts() (sent, failed int64) { return c.sent.Load(), c.failed.Load() }

func (c *Callers) send(client *http.Client, i int) {
	defer c.pending.Done()
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

// longPromptEvery is the period of long prompts: every longPromptEvery-th prompt is about a
// hundred times as long as the others.
const longPromptEvery = 50

func prompt(i int) string {
	if i%longPromptEvery == longPromptEvery-1 {
		return strings.Repeat("check this loom specification ", 100)
	}
	return fmt.Sprintf("check this loom specification %d", i)
}
