// Command winchload is part of arbutuswinch.
package main

func main() {}
