package edge

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestOperationsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	for _, name := range []string{
		metricRequests, metricRetries, metricResumes, metricLate, metricFirstEvent, metricRequestTime, metricConfigVersion,
		metricConfigAge, metricEnginesAge, metricDaemons, metricPlanning, metricGroupsServing, metricEnginesEnded, metricVerdicts,
		metricBehind, metricApplied, metricSent, metricPushQueue, metricDropped, metricSuperseded, metricPartialReads,
	} {
		must.True(t, strings.Contains(string(page), "`"+name+"`"), must.Sprintf("docs/OPERATIONS.md does not name %s", name))
	}
}
