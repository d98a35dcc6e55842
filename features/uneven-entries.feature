Feature: An entry that gets most new connections serves its callers as before

  # Guards against limits, retries and permits that are split equally among entries, whatever share of the callers each one gets.
  Scenario Outline: One of <entries> entries gets <tenths> tenths of the requests, then another one: <targets>, seed <seed>
    Given <entries> entries and 16 targets, with callers that use <load> tenths of the capacity, seed <seed>
    And <targets>
    When callers use all entries for 8 s, and then two entries in turn get <tenths> tenths of them
    Then 3 s after each change requests are served at the first attempt at least 9 tenths as often as before

    Examples:
      | entries | load | tenths | targets                                              | seed |
      | 8       | 3    | 10     | all targets answer                                   | 1    |
      | 8       | 6    | 10     | all targets answer                                   | 2    |
      | 8       | 6    | 9      | a quarter of the targets break off every answer      | 3    |
      | 8       | 3    | 10     | half of the targets name limits of a tenth of their share | 4    |
      | 8       | 3    | 10     | all targets name limits of twice their share         | 5    |
      | 32      | 6    | 9      | a quarter of the targets break off every answer      | 6    |
      | 32      | 3    | 10     | all targets name limits of twice their share         | 7    |
