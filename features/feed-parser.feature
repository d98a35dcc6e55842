Feature: What arrives on a connection means the same in small pieces and with small chunks joined

  # Guards against requests or bodies that change, appear or vanish because of how input is handed to the parser.
  Scenario Outline: Requests are parsed as Node parses them: seed <seed>
    Given a server that reads its input as Node does, and one that reads it in pieces
    When 60 connections drawn from seed <seed> send requests in chunks, some of them spoilt, in parts of any size
    Then both servers have seen the same requests, bodies and errors

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
