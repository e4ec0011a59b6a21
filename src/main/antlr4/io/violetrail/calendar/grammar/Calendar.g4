/** When a schedule is due, as its operator writes it. */
grammar Calendar;

options { caseInsensitive = true; }

calendar : dueRule (OR dueRule)* EOF ;

dueRule
    : AT TIME (COMMA TIME)* (ON? days)?               # atTimes
    | EVERY INT unit=(MINUTES | HOURS) (ON days)?     # everySpan
    ;

days : dayList (EXCEPT ON? dayList)? ;

dayList : dayItem ((COMMA | AND) dayItem)* ;

dayItem
    : INT unit=(DAY | DAYS | WORKDAY | WORKDAYS) side=(BEFORE | AFTER) dayBase   # shifted
    | dayBase                                                                    # unshifted
    ;

dayBase
    : EVERY DAY                                          # everyDay
    | WORKDAYS                                           # workdays
    | WEEKDAY                                            # weekday
    | which=(LAST | ORDINAL) what=(DAY | WORKDAY | WEEKDAY) OF months   # nthOfMonth
    | DAY INT OF months                                  # dayOfMonth
    | HOLIDAYS STRING                                    # holidays
    | DAYS STRING                                        # namedDays
    | DATE                                               # date
    ;

months : MONTH | MONTHNAME (AND MONTHNAME)* ;

AT : 'at' ;
ON : 'on' ;
OR : 'or' ;
OF : 'of' ;
AND : 'and' ;
EVERY : 'every' ;
EXCEPT : 'except' ;
BEFORE : 'before' ;
AFTER : 'after' ;
LAST : 'last' ;
DAY : 'day' ;
DAYS : 'days' ;
WORKDAY : 'workday' ;
WORKDAYS : 'workdays' ;
HOLIDAYS : 'holidays' ;
MONTH : 'month' ;
MINUTES : 'minute' 's'? ;
HOURS : 'hour' 's'? ;
WEEKDAY : 'monday' | 'tuesday' | 'wednesday' | 'thursday' | 'friday' | 'saturday' | 'sunday' ;
MONTHNAME : 'january' | 'february' | 'march' | 'april' | 'may' | 'june' | 'july' | 'august'
          | 'september' | 'october' | 'november' | 'december' ;
ORDINAL : '1st' | '2nd' | '3rd' | '4th' | '5th' ;
DATE : [0-9][0-9][0-9][0-9] '-' [0-9][0-9] '-' [0-9][0-9] ;
TIME : [0-9] [0-9] ':' [0-9] [0-9] ;
INT : [0-9]+ ;
STRING : '"' ~["\r\n]* '"' ;
COMMA : ',' ;
SPACE : [ \t\r\n]+ -> skip ;
OTHER : . ;
