package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"filbertledge/internal/api"
)

func openaiClient(v *vm) openai.Client {
	return openai.NewClient(option.WithBaseURL(v.url+"/v1/"), option.WithAPIKey(testToken), option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "chat",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// Guards against answers that the public OpenAI client library cannot decode.
func TestOpenAIClientUnary(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	v.joinServer(t, "e1", startServer(t, (&fakeEngine{words: 5}).ServeHTTP), "llm", true)
	client := openaiClient(v)
	got, err := client.Chat.Completions.New(context.Background(), chatParams())
	if err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != wordsOf(0, 5) {
		t.Fatalf("content %q", got.Choices[0].Message.Content)
	}
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "chat" {
		t.Fatalf("models %v, %v", models, err)
	}
}

// Guards against missing and repeated tokens when the connection to an engine breaks during a stream and the stream is
// resumed on another server.
func TestOpenAIClientStreamResumes(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	engine := &fakeEngine{words: 40}
	engine.breakAfter.Store(17)
	v.joinServer(t, "e1", startServer(t, engine.ServeHTTP), "llm", true)
	v.joinServer(t, "e2", startServer(t, engine.ServeHTTP), "llm", true)
	client := openaiClient(v)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if text.String() != wordsOf(0, 40) {
		t.Fatalf("text %q", text.String())
	}
	if engine.runs.Load() != 2 {
		t.Fatalf("%d runs, want 2", engine.runs.Load())
	}
}

// Guards against a stream that is passed on as complete although it belongs to another request or its end marker is
// missing.
func TestStreamOfWrongAttemptOrWithoutEndFails(t *testing.T) {
	for name, engine := range map[string]*fakeEngine{
		"wrong attempt": {words: 3, attempt: "other"},
		"truncated":     {words: 3, omitDone: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVM(t, newFakeControl(chatRow))
			v.joinServer(t, "e1", startServer(t, engine.ServeHTTP), "llm", true)
			_, body := send(t, "POST", v.url+pathChat, `{"model":"chat","stream":true}`)
			if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"error"`) {
				t.Fatalf("body %q", body)
			}
		})
	}
}

// Guards against an event of several lines of which callers read the first only: each line needs its own field name.
func TestEventsOfSeveralLinesReachTheCaller(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	engine := func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		label := fmt.Sprintf(`"filbertledge":{"attempt_id":%q,"offset":0,"pieces":[{"version":7,"tokens":1}]}`, req.Header.Get(api.HeaderAttemptID))
		fmt.Fprintf(w, "data: {\ndata:   \"choices\": [{\"delta\": {\"content\": \"w0\"}, \"finish_reason\": \"stop\"}],\ndata: %s\ndata: }\n\ndata: [DONE]\n\n", label)
	}
	v.joinServer(t, "e1", startServer(t, engine), "llm", true)
	_, body := send(t, "POST", v.url+pathChat, `{"model":"chat","stream":true}`)
	event, _, _ := strings.Cut(body, "\n\n")
	var data []string
	for line := range strings.Lines(event) {
		value, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			t.Errorf("line %q of the event has no field name", line)
		}
		data = append(data, value)
	}
	if joined := strings.Join(data, ""); !json.Valid([]byte(joined)) {
		t.Errorf("callers read %q, want the chunk that the engine sent; body %q", joined, body)
	}
}

// Guards against a unary answer that is passed on although it belongs to another request.
func TestUnaryAnswerOfWrongAttemptFails(t *testing.T) {
	v := newVM(t, newFakeControl(chatRow))
	v.joinServer(t, "e1", startServer(t, (&fakeEngine{words: 3, attempt: "other"}).ServeHTTP), "llm", true)
	resp, body := send(t, "POST", v.url+pathChat, `{"model":"chat"}`)
	if resp.StatusCode != http.StatusBadGateway || strings.Contains(body, "w0") {
		t.Fatalf("status %d, body %q", resp.StatusCode, body)
	}
	if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeUnknown) {
		t.Fatalf("outcome %q", resp.Header.Get(api.HeaderOutcome))
	}
}

// Guards against engines that continue to generate for a caller that has disconnected.
func TestCallerDisconnectCancelsIdempotentRequest(t *testing.T) {
	for name, body := range map[string]string{"unary": `{"model":"chat"}`, "stream": `{"model":"chat","stream":true}`} {
		t.Run(name, func(t *testing.T) {
			engine := &fakeEngine{words: 1000, delay: 300 * time.Millisecond}
			v := newVM(t, newFakeControl(chatRow))
			v.joinServer(t, "e1", startServer(t, engine.ServeHTTP), "llm", true)
			conn, err := net.Dial("tcp", strings.TrimPrefix(v.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			writeRawRequest(t, conn, "POST /v1/chat/completions HTTP/1.1", body)
			waitFor(t, func() bool { return engine.runs.Load() == 1 })
			conn.Close()
			waitFor(t, func() bool { return engine.canceled.Load() == 1 && v.handler.InFlight() == 0 })
		})
	}
}
