package cli

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

// callTimeout bounds the requests of an operator's command, without the time that
// the command asks the server to wait.
const callTimeout = 30 * time.Second

// timeLayout is the layout of printed times, which are in UTC.
const timeLayout = "2006-01-02 15:04:05Z"

// serverFlags select the operators' server and the operator's token.
type serverFlags struct {
	Server    string `long:"server" value-name:"URL" env:"RAGWORTQUAY_SERVER" required:"true" description:"operators' server of any daemon, such as http://127.0.0.1:9090"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"RAGWORTQUAY_TOKEN_FILE" required:"true" description:"file that holds the operator's token"`
}

func (f serverFlags) client() (*admin.Client, error) {
	token, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return nil, fault.Wrap(fault.BadInput, err, "name a readable file that holds only the token", "read --token-file")
	}
	return admin.NewClient(f.Server, strings.TrimSpace(string(token)))
}

// tablesFileFlag selects a tables file.
type tablesFileFlag struct {
	File string `short:"f" long:"file" value-name:"FILE" required:"true" description:"tables file (TOML)"`
}

func (f tablesFileFlag) readTables() (tablefile.File, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return tablefile.File{}, fault.Wrap(fault.BadInput, err, "name a readable file", "read --file")
	}
	return tablefile.Parse(f.File, data)
}

// callContext returns a context that ends on SIGTERM or SIGINT, and after
// callTimeout plus extra.
func callContext(extra time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, callTimeout+extra)
	return ctx, func() {
		cancel()
		stop()
	}
}
