package httpjson

import "sync"

// Clients holds a client for each server that is called with the same options. It is safe for concurrent use.
type Clients struct {
	options Options

	mu        sync.Mutex
	byAddress map[string]*Client
}

// NewClients returns clients with the options, whose Address is not used.
func NewClients(options Options) *Clients {
	return &Clients{options: options, byAddress: map[string]*Client{}}
}

// To returns the client of the server at the address, which is created at the first call.
func (c *Clients) To(address string) (*Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.byAddress[address]; client != nil {
		return client, nil
	}
	options := c.options
	options.Address = address
	client, err := NewClient(options)
	if err != nil {
		return nil, err
	}
	c.byAddress[address] = client
	return client, nil
}
