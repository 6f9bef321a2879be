package allowance

import "strings"

// retryPrefix is the prefix of the keys of retry budgets.
const retryPrefix = "retries/"

// RetryKey returns the key of the retry budget of a service.
func RetryKey(service string) string { return retryPrefix + service }

// RetryService returns the service whose retry budget has a key, or false for another key.
func RetryService(key string) (service string, ok bool) { return strings.CutPrefix(key, retryPrefix) }
