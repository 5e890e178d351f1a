package link

import (
	"bufio"
	"encoding/gob"
	"io"
	"log"
	"net"
	"net/rpc"
	"reflect"
	"sync"
)

// maxKeptMessage is the size in bytes of the largest message whose buffer is kept for later
// messages, whatever their sizes.
const maxKeptMessage = 64 << 10

// encoders are the valueEncoders that no connection uses at the moment.
var encoders = sync.Pool{New: func() any {
	e := &valueEncoder{types: make(map[reflect.Type]struct{})}
	e.gob = gob.NewEncoder(e)
	return e
}}

// valueEncoder encodes values without the definitions of their types. It serves one connection
// after the other, since a gob.Encoder holds a buffer as large as its largest message. The
// numbers of types are the same in all encoders of a process.
type valueEncoder struct {
	gob *gob.Encoder
	// types are those whose definitions the gob.Encoder regards as sent.
	types map[reflect.Type]struct{}
	// out gets what the gob.Encoder writes; if it is nil, nothing does.
	out     io.Writer
	written int
	// grown is set after a call with more than maxKeptMessage bytes.
	grown bool
}

// Write takes what the gob.Encoder writes.
func (e *valueEncoder) Write(p []byte) (int, error) {
	if e.out == nil {
		return len(p), nil
	}
	e.written += len(p)
	return e.out.Write(p)
}

// encode writes v, which is of type t or a pointer to it, to out.
func (e *valueEncoder) encode(out io.Writer, t reflect.Type, v any) error {
	if _, ok := e.types[t]; !ok {
		if err := e.gob.EncodeValue(reflect.New(t)); err != nil {
			return err
		}
		e.types[t] = struct{}{}
	}
	e.out = out
	err := e.gob.Encode(v)
	e.out = nil
	return err
}

// release makes e available to other connections. A grown encoder serves only a run of large
// messages; with small ones its buffer would never become free.
func (e *valueEncoder) release() {
	large := e.written > maxKeptMessage
	if e.grown && !large {
		return
	}
	e.grown, e.written = large, 0
	encoders.Put(e)
}

// encoder writes the stream of one gob.Encoder without holding the buffer of one. Values must
// not have fields of interface types, whose definitions are part of the value.
type encoder struct {
	out         *bufio.Writer
	definitions typeEncoder
}

func newEncoder(c net.Conn) *encoder {
	e := &encoder{out: bufio.NewWriter(c)}
	e.definitions = typeEncoder{out: e.out, types: make(map[reflect.Type]struct{})}
	e.definitions.gob = gob.NewEncoder(&e.definitions)
	return e
}

// encode writes a header and a body as one unit. The connection can't be used after an error.
func (e *encoder) encode(header, body any) error {
	values := encoders.Get().(*valueEncoder)
	for _, v := range []any{header, body} {
		t := reflect.TypeOf(v)
		for t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		if err := e.definitions.send(t); err != nil {
			return err
		}
		if err := values.encode(e.out, t, v); err != nil {
			return err
		}
	}
	values.release()
	return e.out.Flush()
}

// typeEncoder writes the definitions of types that the peer doesn't have yet; it refuses to get
// one again.
type typeEncoder struct {
	gob   *gob.Encoder
	out   io.Writer
	types map[reflect.Type]struct{}
	// last is the last message of the gob.Encoder.
	last []byte
}

// Write takes a message of the gob.Encoder and writes the one before.
func (e *typeEncoder) Write(p []byte) (int, error) {
	_, err := e.out.Write(e.last)
	e.last = append(e.last[:0], p...)
	return len(p), err
}

// send writes what a gob.Encoder writes before the first value of type t.
func (e *typeEncoder) send(t reflect.Type) error {
	if _, ok := e.types[t]; ok {
		return nil
	}
	// The value follows its definitions, one message each, and isn't written.
	e.last = e.last[:0]
	if err := e.gob.EncodeValue(reflect.New(t)); err != nil {
		return err
	}
	e.last = nil
	e.types[t] = struct{}{}
	return nil
}

// smallMessage is an int of value 0, encoded by encoding/gob.
var smallMessage = []byte{3, 4, 0, 0}

// decoder reads the stream of a gob.Encoder, but releases the buffer of a message larger than
// maxKeptMessage: it lets the gob.Decoder read smallMessage after it.
type decoder struct {
	gob      *gob.Decoder
	in       *bufio.Reader
	read     int
	inserted []byte
}

func newDecoder(c net.Conn) *decoder {
	d := &decoder{in: bufio.NewReader(c)}
	d.gob = gob.NewDecoder(d)
	return d
}

// Read gives bytes to the gob.Decoder.
func (d *decoder) Read(p []byte) (int, error) {
	if len(d.inserted) > 0 {
		n := copy(p, d.inserted)
		d.inserted = d.inserted[n:]
		return n, nil
	}
	n, err := d.in.Read(p)
	d.read += n
	return n, err
}

// ReadByte keeps the gob.Decoder from reading ahead of the message that it decodes.
func (d *decoder) ReadByte() (byte, error) {
	if len(d.inserted) > 0 {
		b := d.inserted[0]
		d.inserted = d.inserted[1:]
		return b, nil
	}
	return d.in.ReadByte()
}

// decode reads one value into v and discards it if v is nil.
func (d *decoder) decode(v any) error {
	d.read = 0
	err := d.gob.Decode(v)
	if d.read > maxKeptMessage {
		d.inserted = smallMessage
		_ = d.gob.DecodeValue(reflect.Value{})
	}
	return err
}

// clientCodec is the codec of rpc.NewClient with other buffers.
type clientCodec struct {
	io.Closer
	*encoder
	*decoder
}

func newClientCodec(c net.Conn) rpc.ClientCodec {
	return clientCodec{c, newEncoder(c), newDecoder(c)}
}

// WriteRequest writes a request. If that fails it closes the connection.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.encode(r, body)
	if err != nil {
		_ = c.Close()
	}
	return err
}

// ReadResponseHeader reads the header of a reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decode(r) }

// ReadResponseBody reads the body of a reply and discards it if body is nil.
func (c clientCodec) ReadResponseBody(body any) error { return c.decode(body) }

// serverCodec is the codec of rpc.Server.ServeConn with other buffers.
type serverCodec struct {
	io.Closer
	*encoder
	*decoder
}

func newServerCodec(c net.Conn) rpc.ServerCodec {
	return serverCodec{c, newEncoder(c), newDecoder(c)}
}

// ReadRequestHeader reads the header of a request.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.decode(r) }

// ReadRequestBody reads the body of a request and discards it if body is nil.
func (c serverCodec) ReadRequestBody(body any) error { return c.decode(body) }

// WriteResponse writes a reply. If that fails it closes the connection, so that the calls
// that wait on it end.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.encode(r, body)
	if err != nil {
		if c.out.Flush() == nil {
			log.Println("rpc: gob error encoding response:", err)
		}
		_ = c.Close()
	}
	return err
}
