package collector

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"elderyard/internal/wait"
)

// grpcStatus maps the HTTP status of Faults to the equivalent gRPC status.
var grpcStatus = map[int]int{http.StatusTooManyRequests: 8, http.StatusServiceUnavailable: 14, http.StatusBadGateway: 14, http.StatusGatewayTimeout: 4,
	http.StatusBadRequest: 3, http.StatusUnauthorized: 16, http.StatusForbidden: 7, http.StatusTemporaryRedirect: 12}

// handleGRPC returns the handler of one kind of message as a unary gRPC call.
func (c *Collector) handleGRPC(handle func(body []byte, refuse bool) (refused int, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t, refuse, loseReply := c.draw()
		w.Header().Set("Content-Type", "application/grpc")
		end := func(status int, details []byte) {
			w.Header().Set(http.TrailerPrefix+"Grpc-Status", strconv.Itoa(status))
			if details != nil {
				w.Header().Set(http.TrailerPrefix+"Grpc-Status-Details-Bin", base64.RawStdEncoding.EncodeToString(details))
			}
		}
		body, err := readCall(r)
		switch {
		case errors.Is(err, errAborted):
			c.countAborted()
			panic(http.ErrAbortHandler)
		case err != nil:
			c.addFlaw("a call that can't be read: %v", err)
			end(13, nil)
			return
		case t.Silent:
			<-r.Context().Done()
			return
		case t.Status != 0:
			var details []byte
			if seconds, err := strconv.Atoi(t.RetryAfter); err == nil {
				details = retryInfo(seconds)
			}
			end(grpcStatus[t.Status], details)
			return
		}
		wait.For(r.Context(), t.Delay)
		refused, err := handle(body, refuse)
		if err != nil {
			c.addFlaw("a call that can't be decoded: %v", err)
			end(3, nil)
			return
		}
		if loseReply {
			panic(http.ErrAbortHandler)
		}
		if t.Endless {
			endless(w, r)
			return
		}
		message := reply(refused)
		frame := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
		w.Write(append(frame, message...))
		end(0, nil)
	}
}

// retryInfo encodes a google.rpc.Status with the detail google.rpc.RetryInfo.
func retryInfo(seconds int) []byte {
	field := func(n protowire.Number, v []byte) []byte {
		return protowire.AppendBytes(protowire.AppendTag(nil, n, protowire.BytesType), v)
	}
	delay := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(seconds))
	detail := append(field(1, []byte("type.googleapis.com/google.rpc.RetryInfo")), field(2, field(1, delay))...)
	return field(3, detail)
}

// readCall reads the message of a unary gRPC call.
func readCall(r *http.Request) ([]byte, error) {
	if r.ProtoMajor != 2 || r.Header.Get("Content-Type") != "application/grpc" || r.Header.Get("Te") != "trailers" {
		return nil, fmt.Errorf("%s with content type %q and TE %q is not a gRPC call", r.Proto, r.Header.Get("Content-Type"), r.Header.Get("Te"))
	}
	frame, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if len(frame) < 5 || int(binary.BigEndian.Uint32(frame[1:])) != len(frame)-5 {
		return nil, errors.New("the length of the frame does not match the body")
	}
	switch body := frame[5:]; {
	case frame[0] == 0:
		return body, nil
	case frame[0] == 1 && r.Header.Get("Grpc-Encoding") == "gzip":
		return decompress(body)
	}
	return nil, errors.New("the compression of the frame is unknown or was not announced")
}
