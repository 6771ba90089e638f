package testbed

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"vanillapond/platform"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Path, Key string
	Deadline              time.Duration
	// Header holds further header fields.
	Header http.Header
	Body   []byte
}

// Host is the host of all requests.
const Host = "certificates.example"

// Encode returns the request's bytes.
func (r Request) Encode() []byte {
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(platform.HeaderRequestID, r.ID)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	header.Set("Authorization", platform.KeyScheme+r.Key)
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	var message bytes.Buffer
	_, _ = fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, Host)
	_ = header.Write(&message)
	message.WriteString("\r\n")
	message.Write(r.Body)
	return message.Bytes()
}

// Answer is what a client gets for an attempt.
type Answer struct {
	// Status is 0 if there was no answer; Err then says why.
	Status int
	Header http.Header
	Body   string
	// Err is set if the answer was not received completely.
	Err error
}

// Sealed reports whether the answer bears a server's signature.
func (a Answer) Sealed() bool { return a.Header.Get(platform.HeaderSignature) != "" }

// IsSuccess reports whether the client takes its request for done.
func (a Answer) IsSuccess() bool { return a.Err == nil && a.Status >= 200 && a.Status < 300 }

// String describes the answer for the record.
func (a Answer) String() string {
	switch {
	case a.Status == 0 && errors.Is(a.Err, os.ErrDeadlineExceeded):
		return "no answer in time"
	case a.Status == 0:
		return fmt.Sprintf("no answer: %v", a.Err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes of body, error %v", a.Status, a.Header.Get(platform.HeaderSignature), len(a.Body), a.Err)
}

// Conn is a client's connection, which carries one request at a time.
type Conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// Connect opens a connection to an address, within the second that clients allow.
func Connect(address string) (*Conn, error) {
	raw, err := dial(address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.New("no TCP connection")
	}
	return &Conn{TCPConn: tcp, reader: bufio.NewReader(tcp)}, nil
}

// Receive waits for an answer to a request with this method.
func (c *Conn) Receive(method string, patience time.Duration) Answer {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}
