package balance

import (
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// defaultAnswerBytes is the expected size of an answer before one has been seen: 30
	// events of 75 bytes and a head.
	defaultAnswerBytes = 2750
	// answerBytesWeight is the weight of the newest answer in the mean.
	answerBytesWeight = 1.0 / 32
)

// AnswerSizes learns the size of the answers of each model or route. It is safe for
// concurrent use.
type AnswerSizes struct{ means *shard.Map[*answerSize] }

// answerSize is the decayed mean of one model or route.
type answerSize struct {
	mu    sync.Mutex
	mean  float64
	count int
}

// NewAnswerSizes returns AnswerSizes that have seen no answers.
func NewAnswerSizes() *AnswerSizes { return &AnswerSizes{shard.NewMap[*answerSize]()} }

// Record records the size of a complete answer. The keys must be bounded in number.
func (a *AnswerSizes) Record(key string, bytes int) {
	s := a.means.GetOrMake(key, func() *answerSize { return &answerSize{} })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	s.mean += max(answerBytesWeight, 1/float64(s.count)) * (float64(bytes) - s.mean)
}

// Expected returns the expected size of an answer.
func (a *AnswerSizes) Expected(key string) float64 {
	s, ok := a.means.Get(key)
	if !ok {
		return defaultAnswerBytes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean
}
