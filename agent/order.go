package agent

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"toucantiller.dev/dispatch"
	"toucantiller.dev/endpoint"
)

// ErrStaleToken is returned for an order whose fencing token is below the highest one seen.
var ErrStaleToken = errors.New("stale fencing token")

// tokenFile holds the highest fencing token in decimal.
const tokenFile = "fencing-token"

// orders tracks the highest fencing token. Invariant: with a data folder, a token is durable
// before its order reaches the engine.
type orders struct {
	mu      sync.Mutex
	folder  string
	highest uint64
}

func newOrders(folder string, known uint64) (*orders, error) {
	o := &orders{folder: folder, highest: known}
	if folder == "" {
		return o, nil
	}
	b, err := os.ReadFile(filepath.Join(folder, tokenFile))
	if errors.Is(err, os.ErrNotExist) {
		return o, nil
	}
	if err != nil {
		return nil, err
	}
	stored, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	if err != nil {
		return nil, eris.Wrapf(err, "file %s", tokenFile)
	}
	o.highest = max(o.highest, stored)
	return o, nil
}

// runFenced checks the token and calls send. Orders run one at a time, so that an older one
// cannot pass its check before a newer one and reach the engine after it.
func (o *orders) runFenced(token uint64, send func() error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if token < o.highest {
		return eris.Wrapf(ErrStaleToken, "token %d, highest seen %d", token, o.highest)
	}
	if err := o.raiseToken(token); err != nil {
		return eris.Wrap(err, "storing the fencing token")
	}
	return send()
}

func (o *orders) raiseToken(token uint64) error {
	if token == o.highest {
		return nil
	}
	if o.folder != "" {
		if err := writeFileDurably(o.folder, tokenFile, strconv.FormatUint(token, 10)+"\n"); err != nil {
			return err
		}
	}
	o.highest = token
	return nil
}

// writeFileDurably replaces a file atomically and syncs it and its folder before it returns.
func writeFileDurably(folder, name, content string) error {
	f, err := os.CreateTemp(folder, name+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.WriteString(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(folder, name))
	}
	if err != nil {
		return err
	}
	return syncFolder(folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder) //nolint:gosec // the operator's data folder
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Order checks and stores the fencing token of an order and forwards the order to the engine.
// It returns an error that wraps ErrStaleToken for an old token; the engine does not see such
// an order.
func (a *Agent) Order(ctx context.Context, o endpoint.Order) error {
	err := a.orders.runFenced(o.Token, func() error { return a.opt.Engine.Order(ctx, o) })
	if errors.Is(err, ErrStaleToken) {
		a.metrics.ordersRefused.add(1)
	}
	return err
}

// HighestToken returns the highest fencing token seen, for use in the registration.
func (a *Agent) HighestToken() uint64 {
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	return a.orders.highest
}

func (a *Agent) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in dispatch.OrderRequest
	if !a.decodeRequest(w, r, &in) {
		return
	}
	err := a.Order(r.Context(), endpoint.Order{Token: in.Token, Action: in.Action, Subject: in.Subject})
	out := dispatch.OrderReply{Done: err == nil, Highest: a.HighestToken()}
	if err != nil {
		out.Detail = err.Error()
	}
	_ = msgpack.NewEncoder(w).Encode(&out)
}
