// Command winchd is part of arbutuswinch.
package main

func main() {}
