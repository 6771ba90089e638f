package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillapond/platform"
)

// keptCaller sends requests over connections that it keeps open, each at most once: it repeats nothing by itself.
type keptCaller struct {
	mu sync.Mutex
	// idle holds the connections without a request, by machine; guarded by mu.
	idle map[*machine][]*keptConn
}

// keptConn is an open connection to a machine.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	// used is how many requests it has carried.
	used int
}

// keptAnswer is how one request ended.
type keptAnswer struct {
	status int
	// kept means that the connection had carried a request before, and closed that it ended without a byte of an answer, by the machine's doing.
	kept, closed bool
	err          error
}

func newKeptCaller() *keptCaller { return &keptCaller{idle: make(map[*machine][]*keptConn)} }

func (k *keptCaller) take(m *machine) (*keptConn, error) {
	k.mu.Lock()
	if list := k.idle[m]; len(list) > 0 {
		conn := list[len(list)-1]
		k.idle[m] = list[:len(list)-1]
		k.mu.Unlock()
		return conn, nil
	}
	k.mu.Unlock()
	raw, err := net.DialTimeout("tcp", m.front, connectTimeout) //nolint:noctx // The call has a timeout.
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (k *keptCaller) put(m *machine, conn *keptConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle[m] = append(k.idle[m], conn)
}

// close closes the idle connections.
func (k *keptCaller) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, list := range k.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
}

// send sends one request without a body and reads its answer.
func (k *keptCaller) send(m *machine, method, path, id string, timeout time.Duration) keptAnswer {
	conn, err := k.take(m)
	if err != nil {
		return keptAnswer{err: err}
	}
	answer := keptAnswer{kept: conn.used > 0}
	conn.used++
	_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n" + platform.HeaderRequestID + ": " + id + "\r\n" +
		platform.HeaderDeadline + ": " + strconv.FormatInt(timeout.Milliseconds(), 10) + "\r\nAuthorization: " + platform.KeyScheme + apiKey + "\r\n"
	if method == http.MethodPost {
		head += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		_ = conn.Close()
		answer.err = err
		return answer
	}
	if _, err := conn.reader.Peek(1); err != nil {
		var timedOut net.Error
		answer.closed = !errors.As(err, &timedOut) || !timedOut.Timeout()
		answer.err = err
		_ = conn.Close()
		return answer
	}
	return k.read(m, conn, method, answer)
}

// read reads the answer of which a byte has come.
func (k *keptCaller) read(m *machine, conn *keptConn, method string, answer keptAnswer) keptAnswer {
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		_ = conn.Close()
		answer.err = err
		return answer
	}
	answer.status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		answer.err = fmt.Errorf("body: %w", err)
	}
	if err != nil || response.Close {
		_ = conn.Close()
		return answer
	}
	k.put(m, conn)
	return answer
}
