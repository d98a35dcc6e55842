/** Maximum number of passes between the newest report and a switch. */
export const maximumLeadSteps = 60;
